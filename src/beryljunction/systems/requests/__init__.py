"""A request's path: admitted, queued, placed, tried again."""
