"""Measurements of the cost of each role, extrapolated to the design scale."""
