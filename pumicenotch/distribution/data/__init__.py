"""The published data: records in scopes of tables, views of them, and the log of changes."""
