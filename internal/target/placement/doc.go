// Package placement chooses the instance that a routed request is sent to. It keeps
// for each instance what this router's own requests have shown: how much they have
// under way there, which prompt parts they have left in its cache, and how often they
// failed. The forwarder asks it before each attempt and reports how the attempt ended.
package placement
