"""What is remembered so that nothing runs twice and chats find their prefix."""
