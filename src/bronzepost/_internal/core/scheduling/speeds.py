"""Rough engine speeds, to convert prompt and output tokens into seconds.

They need not be exact, since the results are only compared with each other.
"""

PREFILL_TOKENS_PER_SECOND = 6000
OUTPUT_TOKENS_PER_SECOND = 40


def prefill_seconds(tokens: float) -> float:
    """Return the time to prefill prompt tokens that are not cached."""
    return tokens / PREFILL_TOKENS_PER_SECOND


def output_seconds(tokens: float) -> float:
    """Return the time to generate output tokens."""
    return tokens / OUTPUT_TOKENS_PER_SECOND
