"""Exit codes of all commands."""

OK = 0
FAILED = 1
INVALID = 2
REJECTED = 3
NOT_KNOWN_YET = 4
UNREACHABLE = 5
