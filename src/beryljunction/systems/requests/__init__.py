"""Placement, admission, queueing and retries of requests."""
