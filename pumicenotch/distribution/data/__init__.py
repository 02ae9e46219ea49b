"""What is published: records in scopes of tables, views of them, and the log of their changes."""
