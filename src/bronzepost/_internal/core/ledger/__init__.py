"""Program ledger: what the records of one partition mean in log order."""
