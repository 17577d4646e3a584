"""Measurements of policy, relay and cost."""
