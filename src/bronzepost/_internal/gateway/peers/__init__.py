"""Membership, messages and reports between the VMs."""
