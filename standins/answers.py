"""The text that every stand-in engine generates for a prompt.

It depends only on the model and the prompt, so that a caller can compare each answer
byte for byte, also one that was resumed on another engine.
"""

import xxhash

WORDS = ("ash", "oak", "elm", "yew", "fir", "birch", "alder", "hazel", "rowan")


def token_at(model: str, prompt: str, position: int) -> str:
    """Return the token at a position of the answer."""
    digest = xxhash.xxh3_64_intdigest(f"{model}\0{prompt}\0{position}".encode())
    return f" {WORDS[digest % len(WORDS)]}{digest % 997}"


def expected_response(model: str, prompt: str, tokens: int) -> str:
    """Return the whole answer."""
    return "".join(token_at(model, prompt, i) for i in range(tokens))
