// Package order owns who may give orders to a target, such as loading a model or
// changing its role. One row per target in the platform's table names the holder
// and the fencing number that each order carries. A target that checks the number
// refuses the orders of a former holder; for one that does not, there is no second
// holder until the first has released the target or an operator says it is gone.
package order
