"""Rules texts shared by several tests."""

from __future__ import annotations

VALID_RULES = """\
# Whole-line comments and blank lines are skipped.

service registry floor=60% queue=128  # ops: two thirds must stay
service dispatch eject=off  # ops: two servers only
route lookup GET,HEAD /gloves/** service=registry idempotent  # web: finders
route claim POST /gloves/*/claim service=registry idempotency-key=required \
timeout=800ms retries=0 body=64KiB header:x-app=2  # claims: one family a pair
route health * /health service=registry open  # ops: balancer
customer stall weight=2 rate=50/s burst=100  # sales: market stall
limit stall lookup rate=6/min burst=10  # ops: asked for by the stall
"""
