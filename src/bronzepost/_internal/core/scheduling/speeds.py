"""Rough engine speeds that weigh prompt tokens against output tokens.

They need not be exact: they only compare costs with each other.
"""

PREFILL_TOKENS_PER_SECOND = 6000
OUTPUT_TOKENS_PER_SECOND = 40


def prefill_seconds(tokens: float) -> float:
    """Return the time to fill prompt tokens that are not cached."""
    return tokens / PREFILL_TOKENS_PER_SECOND


def output_seconds(tokens: float) -> float:
    """Return the time to generate output tokens."""
    return tokens / OUTPUT_TOKENS_PER_SECOND
