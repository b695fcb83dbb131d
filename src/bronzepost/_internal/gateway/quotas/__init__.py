"""Quotas of workspaces over all VMs."""
