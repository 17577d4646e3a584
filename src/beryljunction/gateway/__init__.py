"""An entry that calls endpoints directly: connections, exchanges, and the life of the process."""
