// Package order ensures that only one router at a time controls a target by orders,
// such as loading a model or changing its role. Each target has a row in the
// platform's table that names the router with the claim and its fencing token, which
// every order carries. A target that checks the token refuses the orders of a former
// holder, so another router can take the claim over at any time. If the target does
// not check tokens, the claim passes on only after the holder has released it or an
// operator has confirmed that the holder is gone.
package order
