"""Serves many language models and adapters with bursty traffic on few accelerators."""
