"""A seeded open-loop load generator and its reports."""
