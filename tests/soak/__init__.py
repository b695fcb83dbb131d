"""Run real gateway processes under random faults and check guarantees."""
