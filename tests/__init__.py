"""Tests: units and properties by nose2, scenarios by behave."""
