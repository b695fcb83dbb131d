"""The ledger of programs on the log service."""
