"""Adapter for the platform: its store, document formats and header names.

Names that the platform defines appear in this package only.
"""
