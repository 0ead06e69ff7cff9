"""The interface to upstreams: model engines and plain services."""
