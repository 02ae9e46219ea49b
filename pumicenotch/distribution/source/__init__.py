"""What serves replicas: children, pushes, transfers, and a voter's part."""
