"""Experiments that run the real decision code against models."""
