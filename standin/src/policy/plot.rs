//! The frontier between questions' tail and batch throughput, as a plot.
