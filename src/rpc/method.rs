//! Maps request types to the methods that they call and to the response types.
//!
//! Each request type of the schema except one belongs to exactly one unary method, so a client
//! selects the method by the request's type. `AskRequest` belongs to two: here it selects
//! `Ask`, and [`ASK_STREAM`] is the path of the other.

use prost::Message;

use super::v1;

/// The path of the only method that returns a stream.
pub const ASK_STREAM: &str = "/auburnspoke.v1.Caller/AskStream";

/// A request of a unary method.
pub trait Call: Message {
    /// The response type.
    type Answer: Message + Default;
    /// The path of the method.
    const PATH: &'static str;
}

/// Declares the unary methods of one service of the schema.
macro_rules! methods {
    ($($path:literal $request:ident $answer:ident;)*) => {
        $(
            impl Call for v1::$request {
                type Answer = v1::$answer;
                const PATH: &'static str = $path;
            }
        )*
        /// The paths of all unary methods.
        pub const UNARY: &[&str] = &[$($path),*];
    };
}

methods! {
    "/auburnspoke.v1.Caller/Locate" LocateRequest LocateResponse;
    "/auburnspoke.v1.Caller/Ask" AskRequest AskResponse;
    "/auburnspoke.v1.Caller/SubmitJob" SubmitJobRequest SubmitJobResponse;
    "/auburnspoke.v1.Caller/JobStatus" JobStatusRequest JobStatusResponse;
    "/auburnspoke.v1.Caller/JobResults" JobResultsRequest JobResultsResponse;
    "/auburnspoke.v1.Caller/CancelJob" CancelJobRequest CancelJobResponse;
    "/auburnspoke.v1.Caller/ListJobs" ListJobsRequest ListJobsResponse;
    "/auburnspoke.v1.Operator/GetConfig" GetConfigRequest GetConfigResponse;
    "/auburnspoke.v1.Operator/ApplyConfig" ApplyConfigRequest ApplyConfigResponse;
    "/auburnspoke.v1.Operator/ApplyService" ApplyServiceRequest ApplyConfigResponse;
    "/auburnspoke.v1.Operator/AddEndpoint" AddEndpointRequest ApplyConfigResponse;
    "/auburnspoke.v1.Operator/RemoveEndpoint" RemoveEndpointRequest ApplyConfigResponse;
    "/auburnspoke.v1.Operator/ConfigHistory" ConfigHistoryRequest ConfigHistoryResponse;
    "/auburnspoke.v1.Operator/ConfigStatus" ConfigStatusRequest ConfigStatusResponse;
    "/auburnspoke.v1.Operator/ListEndpoints" ListEndpointsRequest ListEndpointsResponse;
    "/auburnspoke.v1.Operator/ListMembers" ListMembersRequest ListMembersResponse;
    "/auburnspoke.v1.Operator/Drain" DrainRequest DrainResponse;
}
