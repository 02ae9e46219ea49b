"""The agent of a node: stores versions, and starts, stops and updates the node's server."""
