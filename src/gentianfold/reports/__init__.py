"""Simulations that run the placement code on modelled loads and servers."""
