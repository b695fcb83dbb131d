"""Specifications of the core protocols for an SMT solver."""
