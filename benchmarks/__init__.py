"""Benchmark of the scheduling decisions in virtual time."""
