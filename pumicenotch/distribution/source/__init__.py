"""Serves replicas: their subscriptions, pushes and transfers, and the reports of voters."""
