"""Requests from accept to answer: forwarding, at most once, fair queueing."""
