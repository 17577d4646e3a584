"""An entry that calls endpoints directly: connections, request handling, process lifecycle."""
