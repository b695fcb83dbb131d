"""Tests of bronzepost."""
