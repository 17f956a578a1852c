"""Tests of many clients that send what they shouldn't, against real processes with low limits.

They run one at a time, after the suite.
"""
