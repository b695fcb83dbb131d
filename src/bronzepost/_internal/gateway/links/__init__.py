"""Connections to backend servers, direct and through other VMs."""
