"""Translates between the users' platform and the product, and nothing else.

Names of the platform's wire stand in this package only.
"""
