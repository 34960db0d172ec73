"""The deterministic text that every simulated engine generates for a prompt.

The text depends only on the model and the prompt, so a client can compare each response
byte for byte, including one that was resumed on another engine.
"""

import xxhash

WORDS = ("ash", "oak", "elm", "yew", "fir", "birch", "alder", "hazel", "rowan")


def token_at(model: str, prompt: str, position: int) -> str:
    """Return the token at a position of the response."""
    digest = xxhash.xxh3_64_intdigest(f"{model}\0{prompt}\0{position}".encode())
    return f" {WORDS[digest % len(WORDS)]}{digest % 997}"


def expected_response(model: str, prompt: str, tokens: int) -> str:
    """Return the complete text of the response."""
    return "".join(token_at(model, prompt, i) for i in range(tokens))
