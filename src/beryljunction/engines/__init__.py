"""Model engines and plain services as a sidecar meets them."""
