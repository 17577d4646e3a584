"""Endpoints that join, leave, load and hand on."""
