"""Replay traces of agent programs against real processes."""
