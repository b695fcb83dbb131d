"""Command line of bronzepost."""
