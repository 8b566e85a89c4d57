// Package placement chooses the instance that a routed request is sent to. For each
// instance it tracks this router's own requests: the load they put on the instance, the
// prompt parts they left in its cache, and their failure rate. The forwarder calls
// Placement.Choose before each attempt and reports on the returned Slot how the attempt
// ended.
package placement
