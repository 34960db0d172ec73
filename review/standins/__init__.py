"""Stand-ins for the platform, its workers and its consumers, for the review cases."""
