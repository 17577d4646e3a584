"""The platform as the fleet meets it: log, host list, weight store."""
