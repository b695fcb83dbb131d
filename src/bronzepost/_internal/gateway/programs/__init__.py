"""Budgets and histories of programs, kept in the store."""
