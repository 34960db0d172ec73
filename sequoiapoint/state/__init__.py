"""State derived from the log, from the platform's store and from other hosts."""
