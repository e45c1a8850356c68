package api

// PathOperatorWhere is the path at which operators ask where a job of steps would go now. The
// body of the POST request is that of a submission, and the query parameters queue and team
// name its queue and team. The answer is a wire.WhereReply.
const PathOperatorWhere = "/v1/operator/where"
