"""The messages between sources and replicas, and their encoding."""
