"""Measures the cost of each role and works it out at the design scale."""
