"""What sources, relays and replicas send each other."""
