package canary

// exposure is the credit of a node for canary requests in one run of an order.
type exposure struct{}
