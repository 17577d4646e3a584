"""State for at-most-once execution and for routing chats to their cached prefix."""
