"""Settings, status and gauges for operators."""
