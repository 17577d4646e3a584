"""Endpoint membership, model loads and cache handover."""
