"""Schedule agent programs over model engines and plain services."""

__version__ = '0.1.0'
