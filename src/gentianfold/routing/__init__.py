"""Upstream health, ejection with a floor, and placement of requests."""
